// Package design is the goa design of the operator service and of the
// platform's worker service. Both use gRPC. The code under gen is generated
// from it by the go generate line below and is committed.
package design

import (
	. "goa.design/goa/v3/dsl" //nolint:revive // goa designs use the DSL unqualified.
)

//go:generate go run goa.design/goa/v3/cmd/goa gen apricotrouter/design -o ..

var _ = API("apricotrouter", func() {
	Title("apricotrouter")
	Description("Scheduler for latency-critical services and batch jobs on shared instances")
	Version("1")
	Server("operator", func() {
		Services("operator")
		Host("loopback", func() { URI("grpc://127.0.0.1:7400") })
	})
	Server("worker", func() {
		Services("worker")
		Host("loopback", func() { URI("grpc://127.0.0.1:7500") })
	})
})

var resources = Type("Resources", func() {
	Description("Amounts of what an instance holds")
	Field(1, "milli_cpu", Int64, "Processors in thousandths of a core")
	Field(2, "memory_mib", Int64, "Memory in MiB")
	Field(3, "accelerators", Int64, "Accelerators")
	Required("milli_cpu", "memory_mib", "accelerators")
})

var changeResult = Type("ChangeResult", func() {
	Description("Outcome of an accepted change")
	Field(1, "version", UInt64, "Version of the object after the change")
	Field(2, "index", UInt64, "Log index at which the change was committed")
	Required("version", "index")
})

var conflict = Type("Conflict", func() {
	Description("The expected version is not the current one")
	Field(1, "object", String, "Object that the change named")
	Field(2, "current_version", UInt64, "Version of the object now")
	Field(3, "message", String, "What to do next")
	Required("object", "current_version", "message")
})

// mutation adds the fields that each mutating request carries.
func mutation() {
	Field(1, "request_id", String, "Unique id of the request; a resend with the same id returns the first result", func() {
		MinLength(1)
		MaxLength(128)
	})
	Field(2, "actor", String, "Who asks; recorded in the audit trail", func() { MaxLength(128) })
}

// expectedVersion adds the version that the caller saw last; 0 creates.
func expectedVersion() {
	Field(3, "expected_version", UInt64, "Version of the object that the change is based on; 0 if it must not exist yet")
}

// mutationErrors declares the errors that each mutating method can return.
func mutationErrors() {
	Error("conflict", conflict, "The expected version is not the current one")
	Error("reused_request_id", ErrorResult, "The request id was used with other content")
	Error("invalid", ErrorResult, "The request can never be accepted as it is")
	Error("not_found", ErrorResult, "The object does not exist")
	Error("unavailable", ErrorResult, "No confirmed leader can be reached; resend with the same request id")
	GRPC(func() {
		Response(CodeOK)
		Response("conflict", CodeAborted)
		Response("reused_request_id", CodeAlreadyExists)
		Response("invalid", CodeInvalidArgument)
		Response("not_found", CodeNotFound)
		Response("unavailable", CodeUnavailable)
	})
}

// Lists in results are not required: an empty list is absent in the encoding,
// and the generated client refuses a result without a required list.

// queryErrors declares the errors of methods that only read.
func queryErrors() {
	Error("not_found", ErrorResult, "The object does not exist")
	Error("unavailable", ErrorResult, "This instance has no confirmed state")
	GRPC(func() {
		Response(CodeOK)
		Response("not_found", CodeNotFound)
		Response("unavailable", CodeUnavailable)
	})
}

var serviceSpec = Type("ServiceSpec", func() {
	Field(1, "name", String, "Name of the service", func() { Pattern(`^[a-z0-9][a-z0-9-]{0,62}$`) })
	Field(2, "host", String, "Host header that selects the service; empty for none")
	Field(3, "path_prefix", String, "Path prefix that selects the service; empty for none")
	Field(4, "replicas", Int64, "Number of latency-critical tasks")
	Field(5, "resources", resources, "Resources of one replica")
	Field(6, "slots", Int64, "Requests that one replica runs at once")
	Field(7, "connection_limit", Int64, "Connections that one replica accepts")
	Field(8, "team", String, "Team whose quota counts")
	Required("name", "replicas", "resources", "slots", "connection_limit")
})

var jobSpec = Type("JobSpec", func() {
	Field(1, "id", String, "Id of the job", func() { Pattern(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,127}$`) })
	Field(2, "team", String, "Team whose quota counts")
	Field(3, "class", String, "Class under which measurements are collected")
	Field(4, "priority", String, "Priority class", func() { Enum("urgent", "normal", "low") })
	Field(5, "tasks", Int64, "Number of tasks", func() { Minimum(1); Maximum(10000) })
	Field(6, "resources", resources, "Declared resources of one task")
	Field(7, "expected_seconds", Int64, "Declared run time of one task in seconds; 0 if unknown")
	Required("id", "class", "priority", "tasks", "resources")
})

var zoneInfo = Type("ZoneInfo", func() {
	Field(1, "name", String)
	Field(2, "out", Boolean, "Whether operators have taken the availability zone out")
	Field(3, "version", UInt64)
	Field(4, "workers", Int64)
	Field(5, "running_tasks", Int64)
	Field(6, "endpoints", Int64)
	Required("name", "out", "version", "workers", "running_tasks", "endpoints")
})

var serviceInfo = Type("ServiceInfo", func() {
	Field(1, "spec", serviceSpec)
	Field(2, "version", UInt64)
	Field(3, "running", Int64, "Replicas running")
	Field(4, "endpoints", Int64, "Endpoints that announce themselves")
	Required("spec", "version", "running", "endpoints")
})

var taskInfo = Type("TaskInfo", func() {
	Field(1, "id", String)
	Field(2, "owner", String, "Service or job")
	Field(3, "phase", String)
	Field(4, "incarnation", UInt64)
	Field(5, "worker", String)
	Field(6, "checkpoint", String)
	Field(7, "throttle_percent", Int64)
	Field(8, "failures", Int64)
	Field(9, "reason", String, "Why the task is in its phase")
	Required("id", "owner", "phase", "incarnation")
})

var jobInfo = Type("JobInfo", func() {
	Field(1, "spec", jobSpec)
	Field(2, "version", UInt64)
	Field(3, "phase", String)
	Field(4, "reason", String)
	Field(5, "pending", Int64)
	Field(6, "running", Int64)
	Field(7, "completed", Int64)
	Field(8, "failed", Int64)
	Required("spec", "version", "phase", "pending", "running", "completed", "failed")
})

var workerInfo = Type("WorkerInfo", func() {
	Field(1, "id", String)
	Field(2, "zone", String)
	Field(3, "rack", String)
	Field(4, "address", String)
	Field(5, "condition", String)
	Field(6, "capacity", resources)
	Field(7, "reserved", resources)
	Field(8, "owner", String, "Entry instance that holds the session")
	Field(9, "tasks", ArrayOf(taskInfo))
	Field(10, "version", UInt64)
	Required("id", "zone", "rack", "address", "condition", "capacity", "reserved", "owner", "version")
})

var endpointInfo = Type("EndpointInfo", func() {
	Field(1, "id", String)
	Field(2, "service", String)
	Field(3, "address", String)
	Field(4, "zone", String)
	Field(5, "slots", Int64)
	Field(6, "draining", Boolean)
	Field(7, "owner", String, "Entry instance that sends requests to it")
	Required("id", "service", "address", "zone", "slots", "draining", "owner")
})

var instanceInfo = Type("InstanceInfo", func() {
	Field(1, "id", String)
	Field(2, "zone", String)
	Field(3, "peer_address", String)
	Field(4, "role", String, "leader, voter or learner")
	Field(5, "last_contact_ms", Int64, "Milliseconds since the leader heard from it; -1 if unknown")
	Required("id", "zone", "peer_address", "role", "last_contact_ms")
})

var auditRecord = Type("AuditRecord", func() {
	Field(1, "sequence", UInt64)
	Field(2, "time_ms", Int64, "Unix milliseconds")
	Field(3, "actor", String)
	Field(4, "request_id", String)
	Field(5, "action", String)
	Field(6, "object", String)
	Field(7, "old_version", UInt64)
	Field(8, "new_version", UInt64)
	Field(9, "outcome", String)
	Required("sequence", "time_ms", "actor", "request_id", "action", "object", "old_version", "new_version", "outcome")
})

var teamInfo = Type("TeamInfo", func() {
	Field(1, "name", String)
	Field(2, "weight", Int64, "Share of the team relative to others")
	Field(3, "quota", resources, "Limit of what the team's batch tasks hold; 0 is no limit")
	Field(4, "version", UInt64)
	Field(5, "used", resources)
	Required("name", "weight", "quota", "version", "used")
})

var _ = Service("operator", func() {
	Description("Calls of operators; each entry instance serves them")

	Method("init", func() {
		Description("Forms the control group once")
		Payload(func() { mutation(); Required("request_id") })
		Result(func() {
			Field(1, "group_id", String)
			Field(2, "voters", ArrayOf(String))
			Required("group_id")
		})
		mutationErrors()
	})
	Method("set_zone", func() {
		Description("Takes an availability zone out or brings it back")
		Payload(func() {
			mutation()
			expectedVersion()
			Field(4, "name", String)
			Field(5, "out", Boolean)
			Required("request_id", "name", "out")
		})
		Result(changeResult)
		mutationErrors()
	})
	Method("list_zones", func() {
		Result(func() { Field(1, "zones", ArrayOf(zoneInfo)) })
		queryErrors()
	})
	Method("apply_service", func() {
		Description("Creates a service or changes its specification")
		Payload(func() {
			mutation()
			expectedVersion()
			Field(4, "spec", serviceSpec)
			Required("request_id", "spec")
		})
		Result(changeResult)
		mutationErrors()
	})
	Method("delete_service", func() {
		Payload(func() {
			mutation()
			expectedVersion()
			Field(4, "name", String)
			Required("request_id", "name")
		})
		Result(changeResult)
		mutationErrors()
	})
	Method("list_services", func() {
		Result(func() { Field(1, "services", ArrayOf(serviceInfo)) })
		queryErrors()
	})
	Method("apply_team", func() {
		Description("Creates a team or changes its quota and weight")
		Payload(func() {
			mutation()
			expectedVersion()
			Field(4, "name", String)
			Field(5, "weight", Int64)
			Field(6, "quota", resources)
			Required("request_id", "name", "weight", "quota")
		})
		Result(changeResult)
		mutationErrors()
	})
	Method("list_teams", func() {
		Result(func() { Field(1, "teams", ArrayOf(teamInfo)) })
		queryErrors()
	})
	Method("submit_job", func() {
		Payload(func() {
			mutation()
			Field(4, "spec", jobSpec)
			Required("request_id", "spec")
		})
		Result(changeResult)
		mutationErrors()
	})
	Method("cancel_jobs", func() {
		Description("Cancels jobs; a job that has ended stays as it is")
		Payload(func() {
			mutation()
			Field(4, "ids", ArrayOf(String))
			Required("request_id", "ids")
		})
		Result(changeResult)
		mutationErrors()
	})
	Method("list_jobs", func() {
		Payload(func() { Field(1, "phase", String, "Only jobs in this phase; empty for all") })
		Result(func() { Field(1, "jobs", ArrayOf(jobInfo)) })
		queryErrors()
	})
	Method("show_job", func() {
		Payload(func() { Field(1, "id", String); Required("id") })
		Result(func() {
			Field(1, "job", jobInfo)
			Field(2, "tasks", ArrayOf(taskInfo))
			Required("job")
		})
		queryErrors()
	})
	Method("evict_task", func() {
		Description("Checkpoints and stops a batch task; it resumes later from the checkpoint")
		Payload(func() {
			mutation()
			Field(4, "task", String)
			Field(5, "incarnation", UInt64, "Incarnation to evict; 0 for the current one")
			Required("request_id", "task")
		})
		Result(changeResult)
		mutationErrors()
	})
	Method("register_worker", func() {
		Description("Makes a worker known, or changes its address or capacity")
		Payload(func() {
			mutation()
			expectedVersion()
			Field(4, "id", String)
			Field(5, "zone", String)
			Field(6, "rack", String)
			Field(7, "address", String, "IP and port of the worker's service")
			Field(8, "capacity", resources)
			Required("request_id", "id", "zone", "rack", "address", "capacity")
		})
		Result(changeResult)
		mutationErrors()
	})
	Method("list_workers", func() {
		Result(func() { Field(1, "workers", ArrayOf(workerInfo)) })
		queryErrors()
	})
	Method("show_worker", func() {
		Payload(func() { Field(1, "id", String); Required("id") })
		Result(workerInfo)
		queryErrors()
	})
	Method("list_endpoints", func() {
		Result(func() { Field(1, "endpoints", ArrayOf(endpointInfo)) })
		queryErrors()
	})
	Method("status", func() {
		Result(func() {
			Field(1, "instance", String, "Instance that answers")
			Field(2, "leader", String, "Empty if none is known")
			Field(3, "term", UInt64)
			Field(4, "applied_index", UInt64)
			Field(5, "fresh", Boolean, "Whether the instance holds its freshness lease")
			Field(6, "group_id", String)
			Field(7, "instances", ArrayOf(instanceInfo))
			Required("instance", "leader", "term", "applied_index", "fresh", "group_id")
		})
		queryErrors()
	})
	Method("audit", func() {
		Payload(func() {
			Field(1, "since_ms", Int64, "Only records from this time on, in Unix milliseconds")
			Field(2, "object", String, "Only records of this object; empty for all")
			Field(3, "limit", Int64, "Newest records to return; 0 for 1000")
		})
		Result(func() { Field(1, "records", ArrayOf(auditRecord)) })
		queryErrors()
	})
	Method("explain", func() {
		Description("Says why a task, job, worker, endpoint or request is as it is")
		Payload(func() { Field(1, "object", String, "KIND/ID, such as task/job-1.0 or request/ID"); Required("object") })
		Result(func() { Field(1, "lines", ArrayOf(String)) })
		queryErrors()
	})
})

var workerTask = Type("WorkerTask", func() {
	Field(1, "task", String)
	Field(2, "incarnation", UInt64)
	Field(3, "state", String, "running, exited or failed", func() { Enum("running", "exited", "failed") })
	Field(4, "exit_reason", String)
	Field(5, "throttle_percent", Int64, "Share of its processors taken away, 0 to 100")
	Required("task", "incarnation", "state")
})

var taskUsage = Type("TaskUsage", func() {
	Field(1, "task", String)
	Field(2, "incarnation", UInt64)
	Field(3, "sampled_ms", Int64, "Worker's monotonic reading at the sample, in milliseconds")
	Field(4, "used", resources)
	Field(5, "latency_ratio", Float64, "Latency-critical tasks: latency against the latency alone; 0 if not measured")
	Required("task", "incarnation", "sampled_ms", "used", "latency_ratio")
})

// workerErrors declares the errors of the worker's methods.
func workerErrors() {
	Error("stale_fence", ErrorResult, "A higher fence has been seen")
	Error("refused", ErrorResult, "The worker did not carry the call out")
	GRPC(func() {
		Response(CodeOK)
		Response("stale_fence", CodeFailedPrecondition)
		Response("refused", CodeResourceExhausted)
	})
}

// taskTarget adds the fields that name one incarnation of a task under a fence.
func taskTarget() {
	Field(1, "fence", UInt64, "Log index of the assignment of the worker")
	Field(2, "task", String)
	Field(3, "incarnation", UInt64)
	Required("fence", "task", "incarnation")
}

var _ = Service("worker", func() {
	Description("The platform's interface of one worker")

	Method("list", func() {
		Description("Lists what runs or ended and is not forgotten; raises the fence")
		Payload(func() {
			Field(1, "fence", UInt64)
			Field(2, "forget", ArrayOf(String), "TASK@INCARNATION of ended tasks whose end is committed")
			Required("fence")
		})
		Result(func() {
			Field(1, "now_ms", Int64, "Worker's monotonic reading in milliseconds")
			Field(2, "boot_id", String, "Changes when the worker restarts; readings of different boots can't be compared")
			Field(3, "tasks", ArrayOf(workerTask))
			Required("now_ms", "boot_id")
		})
		workerErrors()
	})
	Method("renew", func() {
		Payload(func() {
			Field(1, "fence", UInt64)
			Field(2, "boot_id", String)
			Field(3, "lease_end_ms", Int64, "Worker's monotonic reading at which the lease ends")
			Required("fence", "boot_id", "lease_end_ms")
		})
		workerErrors()
	})
	Method("start", func() {
		Payload(func() {
			taskTarget()
			Field(4, "boot_id", String)
			Field(5, "start_by_ms", Int64, "Worker's monotonic reading after which the start is void")
			Field(6, "resources", resources)
			Field(7, "checkpoint", String, "Checkpoint to resume from; empty for none")
			Field(8, "owner", String, "Service or job")
			Field(9, "kind", String, "latency-critical or batch")
			Field(10, "expected_seconds", Int64)
			Required("boot_id", "start_by_ms", "resources", "owner", "kind")
		})
		workerErrors()
	})
	Method("throttle", func() {
		Payload(func() {
			taskTarget()
			Field(4, "percent", Int64, "Share of its processors to take away, 0 to 100")
			Required("percent")
		})
		workerErrors()
	})
	Method("checkpoint", func() {
		Payload(taskTargetOnly)
		Result(func() { Field(1, "checkpoint", String); Required("checkpoint") })
		workerErrors()
	})
	Method("stop", func() {
		Description("Stops a task; an answer without error confirms that it has ended")
		Payload(taskTargetOnly)
		workerErrors()
	})
	Method("usage", func() {
		Payload(func() { Field(1, "fence", UInt64); Required("fence") })
		Result(func() {
			Field(1, "now_ms", Int64)
			Field(2, "tasks", ArrayOf(taskUsage))
			Required("now_ms")
		})
		workerErrors()
	})
})

var taskTargetOnly = Type("TaskTarget", func() { taskTarget() })
