package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"
)

// completionTimeout bounds how long the shell waits for names.
const completionTimeout = 2 * time.Second

// complete returns a shell completion that asks a server for names.
func (o *options) complete(list func(context.Context, *connection) ([]string, error)) cobra.CompletionFunc {
	return func(cmd *cobra.Command, _ []string, _ string) ([]string, cobra.ShellCompDirective) {
		conn, err := o.connect()
		if err != nil {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		conn.timeout = completionTimeout
		found, err := list(cmd.Context(), conn)
		if err != nil {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		return found, cobra.ShellCompDirectiveNoFileComp
	}
}

// names maps a list of results to their names.
func names[T any](list []T, name func(T) string) []string {
	all := make([]string, len(list))
	for i, v := range list {
		all[i] = name(v)
	}
	return all
}
