"""The admission ladder: load index, rungs, buckets and estimate."""

from driver import SECOND

from scaledeal.ladder import OVERLOAD_INDEX, RUNGS, UNDERLOAD_INDEX, Ladder

HIGH, LOW = (0, False), (1, False)


def ladder_with_estimate(accepted: int = 100) -> Ladder:
    ladder = Ladder({HIGH: 3.0, LOW: 1.0})
    for second in range(1, 11):
        ladder.accepted = {HIGH: accepted, LOW: accepted}
        ladder.step(second * SECOND, [1.0, 1.0])
    return ladder


def climb(ladder: Ladder, rungs: int, start: int = 10) -> None:
    for i in range(1, rungs + 1):
        ladder.sample(100)
        ladder.step((start + i) * SECOND, [1.0, 1.0])


def test_the_first_rung_admits_all_and_the_last_refuses_all():
    ladder = ladder_with_estimate()
    assert ladder.rung == 0
    assert all(ladder.admit(10 * SECOND, LOW) for _ in range(10_000))
    climb(ladder, RUNGS + 5)
    assert ladder.rung == RUNGS - 1
    assert not any(ladder.admit(60 * SECOND, bucket) for bucket in (HIGH, LOW))


def test_one_rung_a_step_up_past_overload_and_down_under_underload():
    ladder = ladder_with_estimate()
    past, under = OVERLOAD_INDEX + 1, UNDERLOAD_INDEX - 1
    for index, rung in ((past, 1), (past, 2), (OVERLOAD_INDEX, 2), (UNDERLOAD_INDEX, 2), (under, 1)):
        ladder.sample(index)
        ladder.step(20 * SECOND, [1.0, 1.0])
        assert ladder.rung == rung


def test_an_interval_without_a_reading_is_underload():
    ladder = ladder_with_estimate()
    climb(ladder, 2)
    assert ladder.step(13 * SECOND, [1.0, 1.0]) == -1


def test_the_index_is_the_mean_of_an_intervals_readings_held_between_0_and_100():
    ladder = ladder_with_estimate()
    for reading in (500, 500, 0, 0, -50):
        ladder.sample(reading)
    assert ladder.step(11 * SECOND, [1.0, 1.0]) == -0 and ladder.rung == 0
    ladder.sample(OVERLOAD_INDEX + 5)
    assert ladder.step(12 * SECOND, [1.0, 1.0]) == 1


def test_rates_fall_with_the_rung_and_a_worth_step_gets_up_to_triple():
    ladder = ladder_with_estimate()
    totals = []
    for rung in range(1, RUNGS - 1):
        climb(ladder, 1, 10 + rung)
        high, low = ladder.rates[HIGH], ladder.rates[LOW]
        totals.append(high + low)
        assert low <= high <= 3 * low * 1.001
        assert abs(high + low - sum(ladder.estimate.values()) * (1 - rung / (RUNGS - 1))) < 1
    assert totals == sorted(totals, reverse=True)


def test_a_bucket_admits_at_its_rate_and_no_faster():
    ladder = ladder_with_estimate()
    climb(ladder, 5)
    admitted = sum(ladder.admit(15 * SECOND + i * SECOND // 1000, LOW) for i in range(4000))
    assert ladder.rates[LOW] * 3.9 <= admitted <= ladder.rates[LOW] * 5.1


def test_the_estimate_is_a_plain_mean_at_first_and_frozen_off_the_first_rung():
    # With an estimate that grows from zero, every rung would refuse nearly everything at first.
    ladder = Ladder({HIGH: 3.0, LOW: 1.0})
    ladder.accepted[LOW] = 50
    ladder.step(SECOND, [1.0, 1.0])
    assert abs(ladder.estimate[LOW] - 50) < 1
    climb(ladder, 1, 1)
    frozen = dict(ladder.estimate)
    ladder.accepted[LOW] = 900
    ladder.sample(OVERLOAD_INDEX - 1)
    ladder.step(9 * SECOND, [1.0, 1.0])
    assert ladder.estimate == frozen


def test_no_step_up_while_an_index_from_reports_falls():
    # The effect of a rung shows late where connections live long: stepping on while the index falls overshoots.
    ladder = Ladder(dict(ladder_with_estimate().worths), index_from_reports=True)
    moves = []
    for i, index in enumerate((OVERLOAD_INDEX + 1, 95, 90, 85, 85, 50)):
        ladder.sample(index)
        moves.append(ladder.step((11 + i) * SECOND, [1.0, 1.0]))
    assert moves == [1, 1, 0, 0, 1, -1]


def test_a_rung_has_shares_by_worth_before_any_set_up_was_accepted():
    # The rungs of a relay that has just started are fractions of an estimate of zero, which would refuse all.
    ladder = ladder_with_estimate(0)
    climb(ladder, 3)
    assert 0 < ladder.shares[LOW] < ladder.shares[HIGH] <= 1
    assert 0.6 <= (ladder.shares[LOW] + ladder.shares[HIGH]) / 2 <= 0.8


def test_a_class_without_requests_so_far_is_not_shut_out():
    # The ladder of a relay with few set-ups may move after two seconds. A class of which no request had come by then
    # would have a rate of zero, and be refused for as long as the ladder is above rung 0.
    ladder = ladder_with_estimate(0)
    ladder.accepted[HIGH] = 60
    ladder.step(11 * SECOND, [1.0, 1.0])
    climb(ladder, 1, 11)
    admitted = sum(ladder.admit((12 + i) * SECOND, LOW) for i in range(20))
    assert admitted >= 10, f"{admitted} of 20 admitted on rung 1"
