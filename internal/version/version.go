// Package version holds the version that the programs report.
package version

// Version is the release number of this tree.
const Version = "0.1.0-dev"
