"""The command line of the stand-ins."""

from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Annotated

import typer
from gevent import monkey
from geventhttpclient import HTTPClient

from verbenamux_contracts.clock import SystemClock
from verbenamux_runtime.program import load_or_exit
from verbenamux_runtime.settings import Address, Duration, Settings
from verbenamux_runtime.tasks import every, stop_on_signal
from verbenamux_runtime.webserver import serve
from verbenamux_standin.engine import EngineSpeed, Generator
from verbenamux_standin.engine_routes import STORE_TIMEOUT_SECONDS, Engine
from verbenamux_standin.history import History
from verbenamux_standin.hosts import hosts_route
from verbenamux_standin.log import log_route
from verbenamux_standin.memory import READY, Memory, Resident
from verbenamux_standin.relay import Line, Relay
from verbenamux_standin.service import service_route
from verbenamux_standin.store import StoreSpeed, store_route
from verbenamux_standin.web import Faults, Reply, Request, make_application

REPORT_INTERVAL = timedelta(milliseconds=50)

app = typer.Typer(
    help='Small fakes of the systems around verbenamux, for tests and demos.',
    no_args_is_help=True,
)
SettingsPath = Annotated[Path, typer.Option('--settings', help='JSON file')]


class LogSettings(Settings, frozen=True):
    """Settings of the log stand-in."""

    address: Address
    retention: Duration


class StoreSettings(Settings, frozen=True):
    """Settings of the weight store stand-in."""

    address: Address
    pace: StoreSpeed


class HostsSettings(Settings, frozen=True):
    """Settings of the host list stand-in."""

    address: Address
    lag: Duration
    hosts: tuple[dict[str, str], ...]


class ServiceSettings(Settings, frozen=True):
    """Settings of the plain service stand-in."""

    address: Address
    name: str
    work: Duration


class RelaySettings(Settings, frozen=True):
    """Settings of the TCP relay."""

    address: Address
    lines: tuple[Line, ...]


class PreloadedModel(Settings, frozen=True):
    """A model that is in an engine's memory at start."""

    name: str
    version: str
    memory_mb: int


class EngineSettings(Settings, frozen=True):
    """Settings of the engine stand-in."""

    address: Address
    name: str
    memory_mb: int
    pace: EngineSpeed
    fencing: bool
    report_lag: Duration
    store: Address | None = None
    preloaded: tuple[PreloadedModel, ...] = ()


@app.command()
def log(settings: SettingsPath) -> None:
    """Run the append-only log.

    Example: verbenamux-standin log --settings log.json
    """
    parsed = load_or_exit(settings, LogSettings)
    _run(parsed.address, log_route(SystemClock(), parsed.retention))


@app.command()
def store(settings: SettingsPath) -> None:
    """Run the weight store."""
    parsed = load_or_exit(settings, StoreSettings)
    _run(parsed.address, store_route(SystemClock(), parsed.pace))


@app.command()
def hosts(settings: SettingsPath) -> None:
    """Run the host list."""
    parsed = load_or_exit(settings, HostsSettings)
    route = hosts_route(SystemClock(), parsed.lag, list(parsed.hosts))
    _run(parsed.address, route)


@app.command()
def service(settings: SettingsPath) -> None:
    """Run a plain service."""
    parsed = load_or_exit(settings, ServiceSettings)
    clock = SystemClock()
    history = History(parsed.name, clock)
    _run(parsed.address, service_route(clock, history, parsed.work))


@app.command()
def engine(settings: SettingsPath) -> None:
    """Run a model engine."""
    parsed = load_or_exit(settings, EngineSettings)
    faults = Faults()
    engine_standin = build_engine(parsed, faults)
    every(REPORT_INTERVAL, engine_standin.record_report, typer.echo)
    _run(parsed.address, engine_standin.route, faults)


@app.command()
def relay(settings: SettingsPath) -> None:
    """Run a TCP relay whose lines can be cut."""
    parsed = load_or_exit(settings, RelaySettings)
    tcp_relay = Relay(parsed.lines)
    tcp_relay.start()
    _run(parsed.address, tcp_relay.route)


def build_engine(settings: EngineSettings, faults: Faults) -> Engine:
    """Return an engine with its preloaded models ready."""
    clock = SystemClock()
    history = History(settings.name, clock)
    memory = Memory(settings.memory_mb, history)
    for model in settings.preloaded:
        resident = Resident(model.name, model.version, model.memory_mb, READY)
        memory.begin_load(resident)
        memory.end_load(resident)
    return Engine(
        pace=settings.pace,
        clock=clock,
        history=history,
        faults=faults,
        memory=memory,
        generator=Generator(settings.pace, clock, history, faults),
        store=_store_client(settings.store),
        report_lag=settings.report_lag,
        fencing=settings.fencing,
    )


def main() -> None:
    """Run the console script."""
    monkey.patch_all()
    app()


def _store_client(address: str | None) -> HTTPClient | None:
    if address is None:
        return None
    host, _, port = address.rpartition(':')
    return HTTPClient(
        host,
        int(port),
        network_timeout=STORE_TIMEOUT_SECONDS,
        concurrency=8,
    )


def _run(
    address: str,
    route: Callable[[Request], Reply],
    faults: Faults | None = None,
) -> None:
    stop = stop_on_signal()
    server = serve(address, make_application(route, faults or Faults()))
    stop.wait()
    server.stop()
