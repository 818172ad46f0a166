/** Virtual time in µs and the events scheduled on it. */
package dillcross.emulator.time;
