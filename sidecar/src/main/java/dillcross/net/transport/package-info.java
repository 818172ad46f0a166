/**
 * The network as the sidecar sees it: interfaces for sockets, datagrams and the event loop, which
 * have one implementation on sockets and one in the emulator. It knows nothing of HTTP and buffers.
 */
package dillcross.net.transport;
