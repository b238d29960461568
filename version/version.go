// Package version provides the version of the programs.
package version

// Version is the version of this build. A release sets it with
// -ldflags "-X apricotrouter/version.Version=1.2.3".
var Version = "0.1.0-dev"
