# How processes share state: read by `serve` only where it is told of this file. Three voters on one machine.
#
# Begin once, at one voter, before any of them runs; the other two are taken in when they start:
#     ./postgrade sharing begin-era deploy/sharing.star --name a --era 1
# After a total loss the same with the next era. See docs/sharing.md.

# Three or five processes keep the log and vote; every other process that reads this file follows them.
# The platform lets no dispatchers talk, so these listen on the loopback address alone.
voters = [
    voter("a", "127.0.0.1", 7301),
    voter("b", "127.0.0.1", 7302),
    voter("c", "127.0.0.1", 7303),
]

# This process. Mostly given when it is started, so that one file does for all.
# name = "a"

# Where voters keep their log; each in a folder of its name below this one. It must be a disk that lasts.
store = "var/sharing"

# A view older than this gives no privilege any more: a reservation is not used, a window does not open.
view_age_ms = 2000

# How often a process renews its view, and how long one call between processes may take.
pull_ms = 250
request_ms = 500

# A leader shows itself so often, and is replaced when it was not heard of for so long. Shorter elections
# mean shorter times without grants after a leader's death, and false alarms on a busy machine.
heartbeat_ms = 100
election_ms = 800

# ---- What `serve` does with the shared state. All of it may be left out; what stands here are the defaults.

# Where a process keeps what it has learnt, in a folder of its name: the store unless told otherwise. Where neither
# is named nothing is kept.
# memory = "var/sharing"
# memory_every_s = 2

# Over how many processes the tenants' rates are split; 0 for the `balancers` of the dispatchers' own settings. A share
# is renewed within its lease; the place of one that is silent is kept for the linger after that. Every place keeps the
# floor, a part of its even share, and one that is cut off for long serves by `cut_off`.
# places = 0
# lease_s = 6
# linger_s = 20
# floor = 0.25
# cut_off = 0.25

# At how many times the steady rate all together connect to workers, when most of them come back at once.
# return_multiple = 2

# Accelerators of a worker of each kind that has some, with a version that grows with each change; the classes whose jobs
# use reserved ones (none that must not run twice); whether idle ones are lent to jobs that may be repeated.
# accelerators = {"route-box": 4}
# accelerators_version = 1
# reserving = ["van-replan"]
# lends = False

# Start windows of classes, and at which site a worker stands, by its kind or its zone. `clock_error_ms` is how far this
# machine's wall clock may be off.
# windows = [window("van-replan", ["zagreb-south"], from_time = "04:00", until = "18:00", zone = "Europe/Zagreb",
#                   lasts_ms = 60000, quantile = 0.9)]
# sites_by_kind = {}
# sites_by_zone = {"zagreb": "zagreb-south"}
# clock_error_ms = 1000
