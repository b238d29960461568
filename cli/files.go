package cli

import (
	"os"

	"github.com/spf13/cobra"

	"apricotrouter/config"
	gen "apricotrouter/gen/operator"
)

// resourcesFile is the YAML form of an amount of resources.
type resourcesFile struct {
	MilliCPU     int64 `yaml:"milli_cpu"`
	MemoryMiB    int64 `yaml:"memory_mib"`
	Accelerators int64 `yaml:"accelerators"`
}

func (r resourcesFile) toResources() *gen.Resources {
	return &gen.Resources{MilliCPU: r.MilliCPU, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators}
}

// serviceFile is the YAML form of the specification of a service.
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

// jobFile is the YAML form of the specification of a job.
type jobFile struct {
	ID              string        `yaml:"id"`
	Team            string        `yaml:"team"`
	Class           string        `yaml:"class"`
	Priority        string        `yaml:"priority"`
	Tasks           int64         `yaml:"tasks"`
	Resources       resourcesFile `yaml:"resources"`
	ExpectedSeconds int64         `yaml:"expected_seconds"`
}

func addFileFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVarP(file, "file", "f", "", "YAML `file` with the specification")
}

// loadYAML decodes a YAML file into target. It returns a usage error if the file
// can't be read or decoded.
func loadYAML(file string, target any) error {
	if file == "" {
		return usageError("a file is needed: -f FILE")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return usageError("%w", err)
	}
	if err := config.Decode(file, data, target); err != nil {
		return &exitError{ExitUsage, err}
	}
	return nil
}

func loadService(file string) (*gen.ServiceSpec, error) {
	var f serviceFile
	if err := loadYAML(file, &f); err != nil {
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
		Host:            nilIfEmpty(f.Host),
		PathPrefix:      nilIfEmpty(f.PathPrefix),
		Replicas:        f.Replicas,
		Resources:       f.Resources.toResources(),
		Slots:           f.Slots,
		ConnectionLimit: f.ConnectionLimit,
		Team:            nilIfEmpty(f.Team),
	}, nil
}

func loadJob(file string) (*gen.JobSpec, error) {
	f := jobFile{Priority: "normal"}
	if err := loadYAML(file, &f); err != nil {
		return nil, err
	}
	if f.ID == "" || f.Class == "" {
		return nil, usageError("%s: id and class are needed", file)
	}
	return &gen.JobSpec{
		ID:              f.ID,
		Team:            nilIfEmpty(f.Team),
		Class:           f.Class,
		Priority:        f.Priority,
		Tasks:           f.Tasks,
		Resources:       f.Resources.toResources(),
		ExpectedSeconds: &f.ExpectedSeconds,
	}, nil
}

// nilIfEmpty returns a pointer to s, or nil if s is empty.
func nilIfEmpty(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}
