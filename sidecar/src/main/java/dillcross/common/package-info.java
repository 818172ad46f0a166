/**
 * Helpers without state that several packages share; they may be called from any thread. The
 * package knows no other package.
 */
package dillcross.common;
