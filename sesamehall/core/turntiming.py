"""Periods and limits of what is learnt about turns."""

TURN_LOAD_DECAY_MS = 1_000  # time constant of a queue's load
MIN_TURN_JOBS = 2.5  # decaying number of jobs with which a turn can begin
TURN_BEGIN_SHARE = 0.15  # of the highest load of earlier turns
EXPECTED_BEGIN_SHARE = 0.08  # the same for a turn that is expected
TURN_END_SHARE = 0.1  # of the turn's own highest load
TURN_DECLINE_SHARE = 0.5  # of it; while the length of turns is unknown
MIN_TURN_MS = 3_000  # a shorter turn does not count
MIN_TURN_WORK_SHARE = 0.75  # of the fleet's work; with less it does not count
PAST_TURNS = 16  # turns that are remembered
TURNS_VALID_MS = 60_000  # without a turn for this long, there are none
TURN_RESUME_MS = 4_000  # a turn that was interrupted for less goes on
TURN_INTERVALS = 5  # latest intervals of which the median is expected
TURN_PEAK_TO_MEAN = 1.6  # highest load of a turn that rises and falls evenly
PREPARE_MS = 2_200  # a beginning is prepared for this long before it
TURN_LATE_MS = 2_500  # a turn that begins no later than this was expected
FORECAST_LEAD_MS = 3_400  # a beginning is seen, machines join and get busy
PREPARE_GAIN = 2.0  # a turn is prepared as if it were this much likelier
TURN_GROWTH_LIMIT = 3.0  # highest forecast, as a multiple of the load seen
FIRST_TURN_HOLD_MS = 4_000  # the pool of a node's first turn is not reduced
PATH_JOBS = 20  # latest jobs of which the length of critical paths is averaged
PATH_JOBS_MIN = 3  # with fewer jobs it is not known
DEMAND_SMOOTHING_MS = 600  # time constant of a pool's demand
GUESS_CHANCE = 0.25  # of a next turn if no order of turns was seen yet
ENDED_HOLD_MS = 800  # in place of PEAK_HOLD_MS after a turn has ended
