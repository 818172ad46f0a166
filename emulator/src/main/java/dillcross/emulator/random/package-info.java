/** Named streams of random numbers that a seed determines. */
package dillcross.emulator.random;
