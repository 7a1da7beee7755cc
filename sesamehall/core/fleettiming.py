"""Periods, bounds and weights of the decisions about machines."""

MACHINES_PERIOD_MS = 500  # a machine is seen to be back this late
ORDER_CONFIRMED_MS = 1_000  # an older confirmation may be another's term
ORDER_RETRY_MS = 1_500  # an order without an answer is sent again
ORDER_FORGET_MS = 10_000  # a machine that is not back after this is looked at
LATE_STOP_MS = 3_000  # a stop of an earlier leader may take effect this late
EMPTY_WAIT_MS = 4_000  # tasks that run longer are stopped and go on elsewhere
WAVE_CYCLE_MS = 6_000  # emptying a worker, its maintenance and its return
WAVE_RESERVE_MS = 6_000  # left of a wave's time when all should be done

PEAK_HOLD_MS = 1_600  # an idle machine costs by then as much as a move
HEADROOM = 1.3  # room is lost between tasks, and demand grows meanwhile
SPARE_WORKERS = 1  # kept beside what the demand asks for
SURGE_HEADROOM = 1.5  # room to catch up with what came before it
ARRIVALS_OVER_MS = 600  # a surge is seen this early
SURGE_DEVIATIONS = 1.5  # a count may be this far above its mean by chance
LEAST_TIME_MS = 1_000  # a job that is late is given this long for its rest
JOINING_MS = 1_900  # a move, and until the worker is listed and has answered
LATE_GOALS = 3  # a job that takes this many times its goal earns nothing
