"""Small fakes of engine, service, log, weight store and host list."""
