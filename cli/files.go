package cli

import (
	"os"

	"github.com/spf13/cobra"

	"apricotrouter/config"
	gen "apricotrouter/gen/operator"
)

// resourcesFile is an amount of resources in a file.
type resourcesFile struct {
	MilliCPU     int64 `yaml:"milli_cpu"`
	MemoryMiB    int64 `yaml:"memory_mib"`
	Accelerators int64 `yaml:"accelerators"`
}

func (r resourcesFile) spec() *gen.Resources {
	return &gen.Resources{MilliCPU: r.MilliCPU, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators}
}

// serviceFile is the specification of a service in a file.
type serviceFile struct {
	Name            string        `yaml:"name"`
	Host            string        `yaml:"host"`
	PathPrefix      string        `yaml:"path_prefix"`
	Replicas        int64         `yaml:"replicas"`
	Resources       resourcesFile `yaml:"resources"`
	Slots           int64         `yaml:"slots"`
	ConnectionLimit int64         `yaml:"connection_limit"`
	Team            string        `yaml:"team"`
}

// jobFile is the specification of a job in a file.
type jobFile struct {
	ID              string        `yaml:"id"`
	Team            string        `yaml:"team"`
	Class           string        `yaml:"class"`
	Priority        string        `yaml:"priority"`
	Tasks           int64         `yaml:"tasks"`
	Resources       resourcesFile `yaml:"resources"`
	ExpectedSeconds int64         `yaml:"expected_seconds"`
}

func fileFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVarP(file, "file", "f", "", "YAML `file` with the specification")
}

// load decodes a YAML file. A file that can't be used is a usage error.
func load(file string, into any) error {
	if file == "" {
		return usageError("a file is needed: -f FILE")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return usageError("%w", err)
	}
	if err := config.Decode(file, data, into); err != nil {
		return &exitError{ExitUsage, err}
	}
	return nil
}

func loadService(file string) (*gen.ServiceSpec, error) {
	var f serviceFile
	if err := load(file, &f); err != nil {
		return nil, err
	}
	if f.Name == "" {
		return nil, usageError("%s: name is missing", file)
	}
	if f.Host == "" && f.PathPrefix == "" {
		return nil, usageError("%s: host and path_prefix are both missing, so no request would select the service", file)
	}
	return &gen.ServiceSpec{
		Name:            f.Name,
		Host:            set(f.Host),
		PathPrefix:      set(f.PathPrefix),
		Replicas:        f.Replicas,
		Resources:       f.Resources.spec(),
		Slots:           f.Slots,
		ConnectionLimit: f.ConnectionLimit,
		Team:            set(f.Team),
	}, nil
}

func loadJob(file string) (*gen.JobSpec, error) {
	f := jobFile{Priority: "normal"}
	if err := load(file, &f); err != nil {
		return nil, err
	}
	if f.ID == "" || f.Class == "" {
		return nil, usageError("%s: id and class are needed", file)
	}
	return &gen.JobSpec{
		ID:              f.ID,
		Team:            set(f.Team),
		Class:           f.Class,
		Priority:        f.Priority,
		Tasks:           f.Tasks,
		Resources:       f.Resources.spec(),
		ExpectedSeconds: &f.ExpectedSeconds,
	}, nil
}

// set returns nil for an empty string.
func set(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}
