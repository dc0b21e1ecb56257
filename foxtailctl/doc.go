// Program foxtailctl is the operators' client. It checks and bundles
// configurations, shows what is in force and explains what became of a
// request. It never writes to the platform: operators publish what it bundles
// by their own means.
package main
