"""Log lines are rendered as sentences."""

from pathlib import Path

from verbenamux_ctl.explaining import as_json, explain, join_lines, read_lines

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


def test_request_is_explained_in_order(tmp_path: Path) -> None:
    path = tmp_path / 'gateway.log'
    path.write_text(LOG)
    sentences = list(explain(read_lines(path, 'req-1')))
    assert len(sentences) == 3
    assert 'went to a: better of two' in sentences[0]
    assert 'a 2.5 ms, b 9.0 ms' in sentences[0]
    assert 'failed with target_failed (gone)' in sentences[1]
    assert 'ended as whole after 2 attempts' in sentences[2]


def test_request_without_lines_has_no_sentences(tmp_path: Path) -> None:
    path = tmp_path / 'gateway.log'
    path.write_text(LOG)
    assert not list(explain(read_lines(path, 'req-9')))


RELAYED = """  31.5 gateway-1 {"time":"t2","event":"request_ended",\
"instance":"gateway-1","request_id":"id-7","route":"r","outcome":"refused_502",\
"cause":"no answer for 0.4 s","model":"m/a1","target":"i-1","sends":1,"runs":1,\
"events":0,"steps":["i-1: unknown no answer for 0.4 s"],"wait_ms":3,\
"first_event_ms":400,"total_ms":402,"catalog_version":7,"catalog_age_ms":20}
"""
EARLIER = """{"time":"t1","event":"request_refused","instance":"gateway-0",\
"request_id":"id-7","status":503,"cause":"the key is not confirmed",\
"catalog_version":7,"catalog_age_ms":4600}
"""


def test_lines_of_several_processes_are_joined_in_order(tmp_path: Path) -> None:
    """A caller was refused at one gateway and retried at another."""
    paths = [tmp_path / 'gateway-1.log', tmp_path / 'gateway-0.log']
    paths[0].write_text(RELAYED)
    paths[1].write_text(EARLIER)
    lines = join_lines(paths, 'id-7')
    sentences = list(explain(lines))
    assert 'refused the request with 503 before any send' in sentences[0]
    assert 'confirmed 4600 ms ago' in sentences[0]
    assert 'ended as refused_502 (no answer for 0.4 s)' in sentences[1]
    assert 'steps: i-1: unknown no answer' in sentences[1]
    assert len(list(as_json(lines))) == 2


CUT = """{"time":"t1","event":"request_cut","instance":"gateway-0",\
"request_id":"id-8","route":"r","stage":"waiting_for_model","target":"",\
"sends":0,"runs":0,"events":0,"steps":[],"open_ms":5300,"left_ms":6700}
"""


def test_request_cut_by_the_end_of_a_process_is_explained_with_its_stage(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'gateway.log'
    path.write_text(CUT)
    (sentence,) = explain(read_lines(path, 'id-8'))
    assert 'at the stage waiting_for_model, 5300 ms after it came' in sentence
    assert '0 sends reached a target, the last to none' in sentence


FAILED = """{"time":"t1","event":"target_failed","instance":"gateway-0",\
"request_id":"id-9","target":"i-1","cause":"closed","failure_rate":0.15,\
"in_row":0,"sent_ms":116,"has_head":true,"has_event":false}
{"time":"t2","event":"crash_suspected","request_id":"id-9","target":"i-1@7",\
"parts":["a","dead"],"crashes":2}
"""


def test_a_failed_send_is_explained_with_what_had_arrived(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'gateway.log'
    path.write_text(FAILED)
    failure, suspicion = explain(read_lines(path, 'id-9'))
    assert 'a head and no event had arrived 116 ms after the send' in failure
    assert 'parts a, dead are suspected, with 2 crashes known' in suspicion
