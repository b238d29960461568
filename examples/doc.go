// Package examples contains sample settings, services and jobs of two customers.
// Its test checks that the settings are valid and that a quorum of the voters
// survives the loss of any availability zone.
package examples
