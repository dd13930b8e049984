"""Log lines become sentences."""

from pathlib import Path

from verbenamux_ctl.explaining import explain, read_lines

LOG = """not json req-1
{"time":"t1","event":"route","request_id":"req-1","attempt":1,"model":"m",\
"service":"","workspace":"w","target":"a","reason":"better of two",\
"scores_ms":{"b":9.0,"a":2.5}}
{"time":"t2","event":"attempt_failed","request_id":"req-1","target":"a",\
"code":"target_failed","cause":"gone","run":"unknown"}
{"time":"t3","event":"route","request_id":"req-12","attempt":1}
{"time":"t4","event":"outcome","request_id":"req-1","outcome":"whole",\
"attempts":2,"run":"ran"}
"""


def test_request_is_told_in_order(tmp_path: Path) -> None:
    path = tmp_path / 'gateway.log'
    path.write_text(LOG)
    told = list(explain(read_lines(path, 'req-1')))
    assert len(told) == 3
    assert 'went to a: better of two' in told[0]
    assert 'a 2.5 ms, b 9.0 ms' in told[0]
    assert 'failed with target_failed (gone)' in told[1]
    assert 'ended as whole after 2 attempts' in told[2]


def test_request_without_lines_tells_nothing(tmp_path: Path) -> None:
    path = tmp_path / 'gateway.log'
    path.write_text(LOG)
    assert not list(explain(read_lines(path, 'req-9')))
