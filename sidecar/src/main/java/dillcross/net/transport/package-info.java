/**
 * Interfaces of the network that the sidecar runs on: sockets, datagrams and the event loop. There
 * is one implementation on real sockets and one in the emulator. The package depends neither on
 * HTTP nor on buffers.
 */
package dillcross.net.transport;
