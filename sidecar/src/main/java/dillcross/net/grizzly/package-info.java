/**
 * The network on real sockets, on top of Grizzly: one selector thread for all of them. Nothing else
 * in the program knows Grizzly, but for the command line that starts it.
 */
package dillcross.net.grizzly;
