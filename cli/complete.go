package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"
)

// completionTimeout limits how long a shell completion waits for names.
const completionTimeout = 2 * time.Second

// completeNames returns a shell completion with the names that listNames reads
// from the servers. It offers no names after an error.
func (o *options) completeNames(listNames func(context.Context, *failoverClient) ([]string, error)) cobra.CompletionFunc {
	return func(cmd *cobra.Command, _ []string, _ string) ([]string, cobra.ShellCompDirective) {
		client, err := o.newFailoverClient()
		if err != nil {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		client.timeout = completionTimeout
		candidates, err := listNames(cmd.Context(), client)
		if err != nil {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		return candidates, cobra.ShellCompDirectiveNoFileComp
	}
}

// mapNames returns the names of the elements of a list.
func mapNames[T any](list []T, name func(T) string) []string {
	all := make([]string, len(list))
	for i, v := range list {
		all[i] = name(v)
	}
	return all
}
