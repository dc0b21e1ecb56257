// Program foxtailctl is the operators' command-line client. It checks and
// bundles configurations, shows the configuration that is in force on hosts and
// explains how a request was handled. It never writes to the platform:
// operators publish the bundles with their own tools.
package main
