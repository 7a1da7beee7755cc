"""Periods, limits and weights of the decisions about machines."""

MACHINES_PERIOD_MS = 500  # maximum delay until a machine is seen to be back
MACHINE_GONE_MS = 2_000  # several lists in a row lack the machine
MACHINE_ORDER_CONFIRMED_MS = 1_000  # after this, another node may lead
MACHINE_ORDER_RETRY_MS = 1_500  # resend an order that has no answer
MACHINE_ORDER_TIMEOUT_MS = 10_000  # reconsider a machine that is not back
LATE_STOP_MS = 3_000  # latest effect of an earlier leader's stop order
ORDER_STALLED_MS = 10_000  # an order not sent by then gives its worker back
ORDER_DEFERRAL_MS = 3_000  # then the machine is left in use
EVACUATION_GRACE_MS = 4_000  # tasks that run longer are stopped and rerun
WAVE_CYCLE_MS = 6_000  # evacuation of a worker, maintenance and return
WAVE_MARGIN_MS = 6_000  # a wave should be done this long before its deadline

PEAK_HOLD_MS = 1_600  # idling for this long costs as much as a move
HEADROOM = 1.3  # for fragmentation, and growth of demand in the meantime
SPARE_WORKERS = 1  # added to what the demand requires
SURGE_HEADROOM = 1.5  # also works off the backlog from before the surge
ARRIVALS_DECAY_MS = 600  # time constant; a surge is detected after this long
SURGE_DEVIATIONS = 1.5  # counts this close to the mean are taken for chance
MIN_TIME_LEFT_MS = 1_000  # minimum time allowed for the rest of a late job
MACHINE_JOIN_MS = 1_900  # a move, registration and the first report
LATE_GOAL_FACTOR = 3  # a job that takes this many times its goal earns nothing
