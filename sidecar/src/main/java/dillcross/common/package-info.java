/**
 * Stateless helpers that several packages share; they may be called from any thread. The package
 * depends on no other package of the program.
 */
package dillcross.common;
