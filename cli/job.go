package cli

import (
	"context"
	"strings"

	"github.com/spf13/cobra"

	gen "apricotrouter/gen/operator"
)

func (o *options) jobCommand() *cobra.Command {
	return commandGroup("job", "Submit, cancel and show batch jobs",
		o.jobSubmitCommand(), o.jobCancelCommand(), o.jobListCommand(), o.jobShowCommand())
}

func (o *options) jobSubmitCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "submit -f FILE",
		Short:   "Submit a batch job",
		Example: "  apricotrouter job submit -f examples/limmatbund/job.yaml",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			spec, err := loadJob(file)
			if err != nil {
				return err
			}
			return o.sendChange(cmd, "job/"+spec.ID, nil, func(ctx context.Context, c *gen.Client, r changeRequest) (*gen.ChangeResult, error) {
				return c.SubmitJob(ctx, &gen.SubmitJobPayload{RequestID: r.id, Actor: r.actor, Spec: spec})
			})
		},
	}
	addFileFlag(cmd, &file)
	return cmd
}

func (o *options) jobCancelCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "cancel JOB...",
		Short: "Cancel jobs; a job that has ended stays as it is",
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError("%s needs at least one job", cmd.CommandPath())
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.sendChange(cmd, "job/"+strings.Join(args, ","), nil, func(ctx context.Context, c *gen.Client, r changeRequest) (*gen.ChangeResult, error) {
				return c.CancelJobs(ctx, &gen.CancelJobsPayload{RequestID: r.id, Actor: r.actor, Ids: args})
			})
		},
		ValidArgsFunction: o.completeNames(listJobIDs),
	}
}

func (o *options) jobListCommand() *cobra.Command {
	var phase string
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the jobs",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return query(o, cmd, func(ctx context.Context, c *gen.Client) (*gen.ListJobsResult, error) {
				return c.ListJobs(ctx, &gen.ListJobsPayload{Phase: &phase})
			}, func(res *gen.ListJobsResult) *table { return jobTable(res.Jobs...) })
		},
	}
	cmd.Flags().StringVar(&phase, "phase", "", "only jobs in this `phase`: active, completed, failed or cancelled")
	return cmd
}

func jobTable(jobs ...*gen.JobInfo) *table {
	t := &table{columns: []string{"job", "phase", "priority", "class", "team", "tasks", "pending", "running", "completed", "failed", "version", "reason"}}
	for _, j := range jobs {
		t.add(j.Spec.ID, j.Phase, j.Spec.Priority, j.Spec.Class, j.Spec.Team, j.Spec.Tasks, j.Pending, j.Running, j.Completed, j.Failed, j.Version, j.Reason)
	}
	return t
}

func (o *options) jobShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show JOB",
		Short: "Show a job and its tasks",
		Args:  exactlyOne("job"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return query(o, cmd, func(ctx context.Context, c *gen.Client) (*gen.ShowJobResult, error) {
				return c.ShowJob(ctx, &gen.ShowJobPayload{ID: args[0]})
			}, func(res *gen.ShowJobResult) *table { return taskTable(res.Tasks) })
		},
		ValidArgsFunction: o.completeNames(listJobIDs),
	}
}

func taskTable(tasks []*gen.TaskInfo) *table {
	t := &table{columns: []string{"task", "owner", "phase", "incarnation", "worker", "checkpoint", "throttle", "failures", "reason"}}
	for _, task := range tasks {
		t.add(task.ID, task.Owner, task.Phase, task.Incarnation, task.Worker, task.Checkpoint, task.ThrottlePercent, task.Failures, task.Reason)
	}
	return t
}

func listJobIDs(ctx context.Context, client *failoverClient) ([]string, error) {
	res, err := fetch(ctx, client, func(ctx context.Context, c *gen.Client) (*gen.ListJobsResult, error) {
		return c.ListJobs(ctx, &gen.ListJobsPayload{})
	})
	if err != nil {
		return nil, err
	}
	return mapNames(res.Jobs, func(j *gen.JobInfo) string { return j.Spec.ID }), nil
}

func (o *options) taskCommand() *cobra.Command {
	var incarnation uint64
	evict := &cobra.Command{
		Use:   "evict TASK",
		Short: "Checkpoint and stop a batch task, which resumes later",
		Args:  exactlyOne("task"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.sendChange(cmd, "task/"+args[0], nil, func(ctx context.Context, c *gen.Client, r changeRequest) (*gen.ChangeResult, error) {
				return c.EvictTask(ctx, &gen.EvictTaskPayload{RequestID: r.id, Actor: r.actor, Task: args[0], Incarnation: &incarnation})
			})
		},
	}
	evict.Flags().Uint64Var(&incarnation, "incarnation", 0, "evict only this incarnation (default the current one)")
	return commandGroup("task", "Act on single tasks", evict)
}
