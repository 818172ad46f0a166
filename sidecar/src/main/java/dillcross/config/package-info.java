/**
 * The configuration: reads the sidecar's JSON file, the environment and the operators' TOML file,
 * checks every value and converts it to typed settings. All keys of the configuration stand in
 * {@code ConfigKeys}, {@code OperatorConfig} and {@code EnvironmentVariables}; no other package
 * knows them. A value that is invalid is an {@link dillcross.config.InvalidConfigException}. The
 * types are immutable and may be shared between threads. The package knows nothing of sockets, of
 * the command line, and of how settings are applied.
 */
package dillcross.config;
