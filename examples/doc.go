// Package examples holds sample settings, services and jobs of two
// organisations. Its test checks that they are accepted.
package examples
