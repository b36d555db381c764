"""The ladder: index, rungs, buckets, estimate."""

from driver import SECOND

from scaledeal.policy import OVERLOAD_INDEX, RUNGS, UNDERLOAD_INDEX, Ladder

HIGH, LOW = (0, False), (1, False)


def ladder(accepted: int = 100) -> Ladder:
    made = Ladder({HIGH: 3.0, LOW: 1.0})
    for second in range(1, 11):
        made.accepted = {HIGH: accepted, LOW: accepted}
        made.step(second * SECOND, [1.0, 1.0])
    return made


def climb(made: Ladder, rungs: int, start: int = 10) -> None:
    for i in range(1, rungs + 1):
        made.sample(100)
        made.step((start + i) * SECOND, [1.0, 1.0])


def test_the_first_rung_polices_nothing_and_the_last_refuses_everything():
    made = ladder()
    assert made.rung == 0
    assert all(made.admit(10 * SECOND, LOW) for _ in range(10_000))
    climb(made, RUNGS + 5)
    assert made.rung == RUNGS - 1
    assert not any(made.admit(60 * SECOND, cell) for cell in (HIGH, LOW))


def test_one_rung_a_step_up_past_overload_and_down_under_underload():
    made = ladder()
    past, under = OVERLOAD_INDEX + 1, UNDERLOAD_INDEX - 1
    for index, rung in ((past, 1), (past, 2), (OVERLOAD_INDEX, 2), (UNDERLOAD_INDEX, 2), (under, 1)):
        made.sample(index)
        made.step(20 * SECOND, [1.0, 1.0])
        assert made.rung == rung


def test_an_interval_without_a_reading_is_underload():
    made = ladder()
    climb(made, 2)
    assert made.step(13 * SECOND, [1.0, 1.0]) == -1


def test_the_index_is_the_mean_of_an_intervals_readings_held_between_0_and_100():
    made = ladder()
    for reading in (500, 500, 0, 0, -50):
        made.sample(reading)
    assert made.step(11 * SECOND, [1.0, 1.0]) == -0 and made.rung == 0
    made.sample(OVERLOAD_INDEX + 5)
    assert made.step(12 * SECOND, [1.0, 1.0]) == 1


def test_rates_fall_with_the_rung_and_a_worth_step_gets_up_to_triple():
    made = ladder()
    totals = []
    for rung in range(1, RUNGS - 1):
        climb(made, 1, 10 + rung)
        high, low = made.rates[HIGH], made.rates[LOW]
        totals.append(high + low)
        assert low <= high <= 3 * low * 1.001
        assert abs(high + low - sum(made.estimate.values()) * (1 - rung / (RUNGS - 1))) < 1
    assert totals == sorted(totals, reverse=True)


def test_a_bucket_admits_at_its_rate_and_no_faster():
    made = ladder()
    climb(made, 5)
    admitted = sum(made.admit(15 * SECOND + i * SECOND // 1000, LOW) for i in range(4000))
    assert made.rates[LOW] * 3.9 <= admitted <= made.rates[LOW] * 5.1


def test_the_estimate_is_a_plain_mean_at_first_and_frozen_off_the_first_rung():
    # Guards against an estimate that starts from zero and lets every rung refuse nearly everything.
    made = Ladder({HIGH: 3.0, LOW: 1.0})
    made.accepted[LOW] = 50
    made.step(SECOND, [1.0, 1.0])
    assert abs(made.estimate[LOW] - 50) < 1
    climb(made, 1, 1)
    frozen = dict(made.estimate)
    made.accepted[LOW] = 900
    made.sample(OVERLOAD_INDEX - 1)
    made.step(9 * SECOND, [1.0, 1.0])
    assert made.estimate == frozen


def test_no_step_up_while_a_steady_index_falls():
    # Guards against overshoot: what a rung refuses shows late where connections live long.
    made = Ladder(dict(ladder().worths), index_from_reports=True)
    moves = []
    for i, index in enumerate((OVERLOAD_INDEX + 1, 95, 90, 85, 85, 50)):
        made.sample(index)
        moves.append(made.step((11 + i) * SECOND, [1.0, 1.0]))
    assert moves == [1, 1, 0, 0, 1, -1]


def test_a_rung_tells_shares_by_worth_before_anything_was_accepted():
    # Guards against a gateway just started whose rungs are fractions of nothing: all were refused.
    made = ladder(0)
    climb(made, 3)
    assert 0 < made.shares[LOW] < made.shares[HIGH] <= 1
    assert 0.6 <= (made.shares[LOW] + made.shares[HIGH]) / 2 <= 0.8


def test_a_class_of_which_none_came_is_not_shut_out():
    # Guards against a gateway with few set-ups whose ladder moves after two seconds: what had not come by then
    # had a rate of nothing, and was refused for as long as the ladder policed.
    made = ladder(0)
    made.accepted[HIGH] = 60
    made.step(11 * SECOND, [1.0, 1.0])
    climb(made, 1, 11)
    admitted = sum(made.admit((12 + i) * SECOND, LOW) for i in range(20))
    assert admitted >= 10, f"{admitted} of 20 admitted on rung 1"
