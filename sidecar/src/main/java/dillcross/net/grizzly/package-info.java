/**
 * The network on real sockets, on top of Grizzly, with one selector thread for all of them. Only
 * this package and the command line that creates it depend on Grizzly.
 */
package dillcross.net.grizzly;
