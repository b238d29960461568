package event

import "log/slog"

// Events of workflows and their workers: 800 to 899.
var (
	FleetLeaderFound = define(801, "fleet-leader-found", slog.LevelInfo,
		"connected to the leader", "Calls are forwarded to this leader. Nothing to do.")
	FleetLeaderLost = define(802, "fleet-leader-lost", slog.LevelWarn,
		"leader is unresponsive or no longer leads", "Calls wait for another leader until their deadline. If it persists, check the control group.")
	FleetLeaderStarted = define(803, "fleet-took-over", slog.LevelInfo,
		"leader controls the workers", "This instance leads and polls every registered worker under its own fence. Nothing to do.")
	FleetLeaderStopped = define(804, "fleet-gave-up", slog.LevelInfo,
		"leader no longer controls the workers", "Another instance leads, or the outcome of a commit is unknown and the state is read again. Nothing to do.")
	FleetLoopFailed = define(806, "fleet-loop-failed", slog.LevelError,
		"workflow controller failed and restarts", "A defect of this program. The controller has read the replicated state again under a higher fence, so that runs continue. If it repeats within seconds, the process stops and another instance leads. Report it with the stack.")
	FleetCall = define(805, "fleet-call", slog.LevelInfo,
		"call completed", "The outcome of a client's or operator's call, with its id, on the instance that received it.")
	WorkflowAccepted = define(811, "workflow-accepted", slog.LevelInfo,
		"workflow accepted", "The workflow is stored. The fields give its objective and its number of tasks.")
	WorkflowRefused = define(812, "workflow-refused", slog.LevelInfo,
		"workflow refused", "The workflow was not stored and never runs; the fields give the reason and the time after which to retry.")
	WorkflowEnded = define(813, "workflow-ended", slog.LevelInfo,
		"workflow ended", "The workflow completed, failed or was cancelled. The fields give its duration and its objective.")
	WorkflowMissedObjective = define(814, "workflow-late", slog.LevelInfo,
		"workflow missed its objective", "Logged once by each leader that finds the workflow late and not ended: how many tasks are done, running and waiting for a worker, and the longest wait. If tasks wait, see `pool-room`; if they run, look for slow workers.")
	WorkflowEstimated = define(815, "workflow-estimated", slog.LevelInfo,
		"learned run times of a workflow", "Once for each workflow that is submitted to this leader, if runs of its queue have been observed: the declared critical path (`declared_path_ms`) and the learned one (`path_ms`), which decides the order of waiting workflows, and for the widest step the declared and learned run time of a task, the expected longest of its tasks (`longest_ms`), the weight of the recent runs on which this is based, and how far it follows the declaration (`trust`, 1 for fully). The objective follows the declaration alone. Nothing to do; if both differ much, correct the declared run times of the queue.")
	WorkflowNotStored = define(816, "workflow-not-stored", slog.LevelWarn,
		"workflow refused for lack of memory", "The workflow was not stored and never runs: with it, the stored workflows would take more than `limits.workflows_mib`, of which workflows of more than a 64th may take half. The fields give its tasks, what it would take, and the time after which to retry. Look for clients that submit very large workflows or some that never end, and cancel these.")
	WorkflowKeptOut = define(818, "workflow-kept-out", slog.LevelInfo,
		"copy of a submission was not stored", "A copy arrived after the submission had been refused, or cancelled while it was unknown. It never runs. `until` is when the id may be submitted again, in Unix milliseconds. If it repeats, look for instances that stand still (event 714).")
	BestEffortTaskWaiting = define(817, "best-effort-task-waits", slog.LevelInfo,
		"best-effort task waits for a worker", "Once a second for each pool, the best-effort task that has waited longest, if for a second or more: by how many workers each bound rejects it (memory, idle processors, interference with serving tasks, label, an earlier failure there), and what best-effort tasks use. `reserved_milli_cpu` is what other tasks reserve, and `idle_workflows` the number of workflows of which nothing has run for 3 s although a best-effort task waits. `admitted` workers have a place that other tasks take first. If interference rejects most workers, spread fewer serving tasks over more images, or add workers.")
	TaskPlaced = define(821, "task-placed", slog.LevelInfo,
		"task placed", "A run of a task was recorded for a worker and is sent to it. `pace` is the execution rate at which it starts, in percent: a best-effort task starts below 100 where its image interferes with the serving tasks of every worker.")
	FleetStartRefused = define(822, "fleet-start-refused", slog.LevelInfo,
		"worker refused a start", "The run did not start and the task waits for another worker. Check the worker if it repeats.")
	TaskStartUnknown = define(823, "task-start-unknown", slog.LevelWarn,
		"outcome of a start is unknown", "The run is stopped before the task is started again. If it repeats, check the worker and the network to it.")
	TaskEnded = define(824, "task-ended", slog.LevelInfo,
		"run of a task ended", "The result of a run on its worker. A lost run is started again. `ran_ms` counts from its start, `seen_ms` up to the last report that listed it; `silent_ms` is how long the worker has not responded. `beside` is the number of other runs on the worker when it was lost, `younger` how many of them started later.")
	TaskStopping = define(825, "task-stopping", slog.LevelInfo,
		"stopping a run", "The reason is given: cancelled, preempted, unknown run, draining worker or unknown outcome.")
	TaskRateChanged = define(826, "task-paced", slog.LevelInfo,
		"changed the execution rate of a run", "A best-effort task, which uses idle CPU, is rate-limited to protect a serving task on the same worker, or returns to full speed.")
	TaskCrashedWorker = define(830, "task-lost-in-crash", slog.LevelInfo,
		"worker crashed with a run of a task", "What the crash means for the task. If many workers may have been lost at the same moment (`lost_together` of `pool`; a silent worker between its last response or heartbeat and the time at which it was noticed), that explains the crash, and it does not count at all if the run had been at work (`worked_ms`), as beside another task that has to run alone (`beside_suspect`). After two unexplained crashes, or three in all, the task runs alone on a worker (`beside` is 0); after two crashes under it alone, or five in all, it is given up and its workflow fails. A worker that neither answered the start nor reported the run (`confirmed` is false) counts only among the five. If tasks of one image are given up, check the image.")
	InterferenceNotSaved = define(827, "pressures-not-saved", slog.LevelWarn,
		"learned interference coefficients were not saved", "The next leader starts from older estimates. They are saved again within seconds; check the control group if it repeats.")
	PoolCapacity = define(828, "pool-room", slog.LevelInfo,
		"capacity of a pool after a placement pass", "At most one line per second for each pool while tasks wait: the capacity of the pool's usable workers, how much serving tasks reserve, how much is free in total and on one worker, how much is held for serving tasks, and which tasks wait for how much. `fitting` counts the waiting tasks whose processors are free on one worker; `expired` counts those of workflows that can no longer end before their result becomes useless.")
	ServingTaskWaiting = define(829, "serving-task-waits", slog.LevelInfo,
		"serving task waits for a worker", "At most one line per second for each pool, about the serving task that has waited longest, once it has waited 2 s; tasks that ran before (`run`) come first. It gives the number of usable workers with enough free capacity, and of those rejected by reason. `share` counts workers whose free capacity is reserved for batch tasks; `share_room_milli_cpu`, `share_kept_milli_cpu` and `share_unit_milli_cpu` describe the range of batch task sizes that lacks most: the capacity available for it, what is reserved, and the smallest piece of free capacity that counts; `idle` is how many serving tasks may exceed the batch reservation. `set_aside` counts the workers whose free capacity is set aside for other tasks, and `unusable_by` those with enough free capacity on which nothing is placed, by reason. `reserved_on` is the worker on which capacity is set aside for this task, `reserved_free_milli_cpu` what is free there, and `reservations` the number of tasks for which capacity is set aside, of `max_reservations`. If workers have free capacity (`admitted`, `share`, `excluded`, `held`, `set_aside`, `unusable_by`) and it persists, report it.")
	WorkerRegistered = define(831, "worker-known", slog.LevelInfo,
		"worker registered", "A new incarnation of a worker, or a change of the properties that it reported. Nothing to do.")
	WorkerRemoved = define(832, "worker-gone", slog.LevelInfo,
		"incarnation of a worker ended", "The worker shut down, was replaced by another incarnation, or its lease expired. Its `runs` are lost and start again. `lost_together` is the number of other workers of the pool that may have been lost at the same moment.")
	WorkerUnresponsive = define(833, "worker-silent", slog.LevelWarn,
		"worker is unresponsive", "No task is placed there. Its runs are lost once its lease has expired.")
	WorkerResponsive = define(834, "worker-answers", slog.LevelInfo,
		"worker is responsive again", "Nothing to do.")
	WorkerQuarantined = define(835, "worker-quarantined", slog.LevelWarn,
		"worker is quarantined", "It failed or refused several tasks that other workers could run, and gets no tasks for a limited time. Check the worker.")
	WorkerCallNotSent = define(836, "worker-call-not-sent", slog.LevelWarn,
		"calls to workers fail on this instance", "The calls were never sent, because this instance lacks descriptors, memory or ports. They do not count as failures of the workers. Compare the open connections with their limit in the metrics.")
	WorkerLeaving = define(837, "worker-leaves", slog.LevelInfo,
		"worker announced its shutdown", "Its runs are considered lost once it no longer responds. Nothing to do.")
	WorkerRemovalNotSaved = define(838, "worker-gone-not-saved", slog.LevelWarn,
		"could not commit the removal of a worker", "No task is placed there. A later leader finds that the worker is unresponsive. If it repeats, check that the control group has a leader.")
	TaskStartAnsweredLate = define(839, "task-start-answered-late", slog.LevelWarn,
		"start was answered after its run had been resolved", "The call was still in flight when a later incarnation of the worker was registered, or when the run was ended (`ended`). `outcome` is what became of it: `started`, `not-sent`, `unknown` or the reason of a refusal. Report `started` with `ended`: the run is stopped, but its task may run twice.")
	WorkerEndsMissing = define(840, "worker-ends-missing", slog.LevelWarn,
		"worker has discarded ends that were never read", "The first report of an incarnation begins with the end numbered `first`, not 1: a call that was sent to an earlier incarnation has acknowledged the ends before it. Their tasks may run again. Report it with the events of the worker.")
	QueuesChanged = define(841, "queues-changed", slog.LevelInfo,
		"configuration of queues changed", "A newer version is in effect. Nothing to do.")
	ZoneEvacuation = define(842, "zone-evacuation", slog.LevelInfo,
		"evacuation of an availability zone changed", "No task is started on the workers of an evacuated zone.")
	CapacityReserved = define(843, "capacity-reserved", slog.LevelInfo,
		"setting capacity aside for a serving task", "The task has lost its run. It starts on this worker unless another has room, once enough batch tasks have ended there. Nothing to do unless the same task repeats.")
	CapacityReleased = define(855, "reserved-capacity-released", slog.LevelInfo,
		"capacity that was set aside is released", "The end of `capacity-reserved`, after `for_ms`. `started` is the normal reason, `started-elsewhere` means that another worker had room first. With any other reason the task still waits, or has ended: `worker-unusable` (lost, draining, paused or evacuated), `processors` (serving tasks use what batch tasks would leave), `excluded`, `confined`, `suspect`, `cap`, `not-waiting`. If one task gets and loses capacity repeatedly, check its workers.")
	RunTimesChanged = define(844, "run-times-changed", slog.LevelInfo,
		"run times of an image have changed", "Recent runs differ clearly from the learned distribution, as after the release of another version of the image; it was learned anew from them. `ratio` is the geometric mean of actual over declared run times. At most one line per second; all changes are counted in the metrics. If it follows a release, check that the declared run times still hold.")
	WorkerSpeedChanged = define(845, "worker-speed-changed", slog.LevelInfo,
		"worker is slow, or no longer slow", "By the run times of several of its tasks compared with those on other workers (`slowdown`, 1 if not slow; `run_ratio` of the last run to the median). Tasks that end go there last. At most one line per second; all changes are counted in the metrics. If a worker remains slow, check its machine.")
	TaskCopied = define(846, "task-copied", slog.LevelInfo,
		"started a copy of a slow run", "The step waits for few runs, permits copies, and capacity is idle. `copy` is the number of the second run; the first one continues, and the one that completes first counts. The other is stopped.")
	TenantHeldBack = define(847, "tenant-waits-for-its-quota", slog.LevelInfo,
		"tenant waits for its quota", "At most one line in 10 s for each tenant, and ten lines per second: tasks of the tenant wait because its cap permits no further start. `milli_cpu`, `memory_mib` and `accelerators` are what its runs use, `cap_` what they may use (0 is unlimited). The tasks start when runs of the tenant end. Raise the cap in the configuration, or nothing to do.")
	TenantShares = define(848, "tenant-shares", slog.LevelInfo,
		"shares of tenants decide the order", "At most one line per second while more waits than fits: the tenant that lacks most of its share and the one that exceeds its share most, in parts of the capacity of their dominant resource. A share that is missing for more than the duration of the running tasks points to tasks that fit nowhere; see `pool-room`.")
	CallUnauthorized = define(849, "call-unauthorized", slog.LevelWarn,
		"calls without the key of a tenant were refused", "At most one line per second on the leader: the number of client calls that were answered 401 since the last line, and the operation, host and path of the last one. `key` is whether it had a key, which is not in the configuration of this `config_version`. Check the keys in the configuration with the caller.")
	TaskConfined = define(852, "task-confined", slog.LevelInfo,
		"start without an answer confines a task to its worker", "The start may still arrive, and any incarnation of the worker that has not answered a later call would carry it out. Until then (`for_ms`) the next run of the task starts on the same worker. `adopted` means that an earlier leader recorded the start. Nothing to do; if it repeats, check the worker and the network to it.")
	TaskReleased = define(853, "task-released", slog.LevelWarn,
		"task waited until its start could no longer arrive", "The worker to which an unanswered start had confined the task did not take it: it was lost, draining, full or in an evacuated availability zone. The task starts on any worker now. Check the worker.")
	EndHeld = define(854, "task-end-held", slog.LevelInfo,
		"acknowledgement of an end is delayed", "An earlier start of the task had no answer and may still arrive at a later incarnation of the worker. The end counts at once; the worker keeps it for `for_ms` longer. Nothing to do.")
	PoolShort = define(861, "pool-short", slog.LevelInfo,
		"shortage of a pool began or ended", "While `short` is true, more work waits than fits: useless work comes last, workflows in progress and those with the highest value per work left come first. The fields give what waits and what is free. If it persists, the pool is too small for the demand.")
	HeartbeatRefused = define(851, "heartbeat-refused", slog.LevelWarn,
		"refused heartbeat", "The report could not be decoded or names no usable worker. Check its sender.")
)
