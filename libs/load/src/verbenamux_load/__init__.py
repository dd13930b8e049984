"""Open-loop load, histories and the checker that reads them."""
