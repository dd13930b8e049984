"""Metrics in Prometheus text."""

from datetime import timedelta

from verbenamux_runtime.metrics import Metrics


def test_counters_gauges_and_quantiles_are_rendered() -> None:
    metrics = Metrics()
    metrics.count('calls', outcome='whole')
    metrics.count('calls', 2, outcome='a "b"\n')
    metrics.gauge('fresh', 1)
    for number in range(1, 101):
        metrics.observe('wait_seconds', timedelta(milliseconds=number))
    text = metrics.render().decode()
    assert 'calls{outcome="whole"} 1\n' in text
    assert r'calls{outcome="a \"b\"\n"} 2' in text
    assert 'fresh 1\n' in text
    assert 'wait_seconds_count 100\n' in text
    assert 'wait_seconds{quantile="0.5"} 0.05' in text
