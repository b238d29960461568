package state

import "strconv"

var kindNames = map[Kind]string{
	KindNoop:               "noop",
	KindSetZone:            "set-zone",
	KindApplyService:       "apply-service",
	KindDeleteService:      "delete-service",
	KindApplyTeam:          "apply-team",
	KindSubmitJob:          "submit-job",
	KindCancelJobs:         "cancel-jobs",
	KindEvictTask:          "evict-task",
	KindRegisterWorker:     "register-worker",
	KindPlaceTasks:         "place-tasks",
	KindStopTasks:          "stop-tasks",
	KindThrottleTask:       "throttle-task",
	KindReportTasks:        "report-tasks",
	KindWorkerLost:         "worker-lost",
	KindWorkerReturned:     "worker-returned",
	KindWorkerLeaseExpired: "worker-lease-ended",
	KindQuarantineWorker:   "quarantine-worker",
	KindFailJob:            "fail-job",
	KindAssign:             "assign",
	KindRegisterEndpoint:   "register-endpoint",
	KindRemoveEndpoint:     "remove-endpoint",
	KindRegisterInstance:   "register-instance",
	KindHandOver:           "hand-over",
	KindSetLedgerBuckets:   "set-ledger-buckets",
	KindAddReplicas:        "add-replicas",
	KindSetQueues:          "set-queues",
	KindSubmitWorkflow:     "submit-workflow",
	KindCancelWorkflow:     "cancel-workflow",
	KindRecordTasks:        "record-tasks",
	KindSetPoolWorkers:     "set-pool-workers",
	KindSetEvacuation:      "set-evacuation",
	KindSetInterference:    "set-pressures",
	KindRefuseWorkflow:     "refuse-workflow",
}

// String returns the name of the kind as written to the audit trail, or its
// number if the kind is unknown.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return strconv.Itoa(int(k))
}
