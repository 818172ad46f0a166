/**
 * The command line. {@code Main} starts the program, {@code ServeCommand} assembles and runs one
 * sidecar, {@code MembersCommand} shows the members that a running sidecar knows. The main thread
 * assembles the sidecar and then waits for SIGHUP; everything that changes while it serves belongs
 * to the selector thread of {@code dillcross.net}. No other package may depend on this one.
 */
package dillcross.cli;
