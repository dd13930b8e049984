"""Counters, gauges and histograms in Prometheus text format."""

from collections import defaultdict
from collections.abc import Iterator
from datetime import timedelta

from hdrh.histogram import HdrHistogram

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)
PERCENT = 100
CONTENT_TYPE = 'text/plain; version=0.0.4'

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """All metrics of one process, keyed by name and labels."""

    def __init__(self) -> None:
        """Start without any metric."""
        self._counts: dict[tuple[str, Labels], float] = defaultdict(float)
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increase a counter."""
        self._counts[name, tuple(sorted(labels.items()))] += amount

    def gauge(self, name: str, level: float, **labels: str) -> None:
        """Set a gauge."""
        self._gauges[name, tuple(sorted(labels.items()))] = level

    def observe(self, name: str, duration: timedelta) -> None:
        """Record a duration in a histogram of microseconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                MIN_MICROSECONDS,
                MAX_MICROSECONDS,
                SIGNIFICANT_DIGITS,
            )
            self._histograms[name] = histogram
        histogram.record_value(duration // timedelta(microseconds=1))

    def render(self) -> bytes:
        """Return all metrics as Prometheus text."""
        return ''.join(f'{line}\n' for line in self._lines()).encode()

    def _lines(self) -> Iterator[str]:
        for (name, labels), total in sorted(self._counts.items()):
            yield f'{name}{_format_labels(labels)} {total:g}'
        for (name, labels), level in sorted(self._gauges.items()):
            yield f'{name}{_format_labels(labels)} {level:g}'
        for name, histogram in sorted(self._histograms.items()):
            yield from _histogram_lines(name, histogram)


def _histogram_lines(name: str, histogram: HdrHistogram) -> Iterator[str]:
    for percentile in PERCENTILES:
        micros = histogram.get_value_at_percentile(percentile)
        seconds = timedelta(microseconds=micros).total_seconds()
        yield f'{name}{{quantile="{percentile / PERCENT:g}"}} {seconds:g}'
    yield f'{name}_count {histogram.get_total_count()}'


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ''
    pairs = ','.join(f'{key}="{_escape(text)}"' for key, text in labels)
    return f'{{{pairs}}}'


def _escape(text: str) -> str:
    return text.replace('\\', r'\\').replace('"', r'\"').replace('\n', r'\n')
