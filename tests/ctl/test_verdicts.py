"""An operator sees which prompt parts are refused, and releases them."""

from returns.result import Success

from verbenamux_contracts.messages import Verdict
from verbenamux_ctl.failures import CommandError
from verbenamux_ctl.verdicts import read_convictions, release
from verbenamux_platform.store import KeyedRecord, NewestValues, split_keyed


class FakeLog:
    def __init__(self) -> None:
        self.content_by_key: dict[str, bytes | None] = {
            'gateway': b'{}',
            'part:dead': b'[3,["w"]]',
            'part:released': b'[2,["w"]]',
            'part:odd': b'{',
        }

    def newest(self, _topic):
        records = tuple(
            map(KeyedRecord, *zip(*self.content_by_key.items(), strict=True))
        )
        return Success(NewestValues(records, 0))

    def append(self, _topic, record):
        keyed = split_keyed(record)
        self.content_by_key[keyed.key] = keyed.content
        return Success(1)


def test_a_released_part_is_no_longer_listed():
    log = FakeLog()
    assert read_convictions(log).unwrap() == {'dead': Verdict(3, ('w',))}
    assert release(log, 'other').failure().error is CommandError.NOT_FOUND
    release(log, 'dead').unwrap()
    assert read_convictions(log).unwrap() == {}
