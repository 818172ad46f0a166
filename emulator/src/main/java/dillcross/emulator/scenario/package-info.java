/**
 * Scenario files: {@link dillcross.emulator.scenario.ScenarioReader} reads and checks a file,
 * {@link dillcross.emulator.scenario.ScenarioSettings} lists its keys with defaults and ranges, and
 * {@link dillcross.emulator.scenario.Scenario} holds the result.
 */
package dillcross.emulator.scenario;
