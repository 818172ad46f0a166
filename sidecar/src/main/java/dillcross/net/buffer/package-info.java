/**
 * Ring buffers, and the memory budget that all of them share. Belongs to the selector thread. It
 * knows nothing of HTTP.
 */
package dillcross.net.buffer;
