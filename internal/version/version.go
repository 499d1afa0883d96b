// Package version holds the version number that the programs report.
package version

// Version is the release number of this source tree.
const Version = "0.1.0-dev"
