/**
 * The configuration: reads the sidecar's JSON file, the environment and the operators' TOML file,
 * checks every value and converts it to typed settings. All keys of the configuration are defined
 * in {@code ConfigKeys}, {@code OperatorConfig} and {@code EnvironmentVariables}; no other package
 * uses them. An invalid value is reported by an {@link dillcross.config.InvalidConfigException}.
 * The types are immutable and may be shared between threads. The package opens no sockets, reads no
 * command line and applies no settings.
 */
package dillcross.config;
