// Package docs holds the pages of the project; its tests check them against
// the code.
package docs
