/**
 * Ring buffers, and the memory budget that all of them share. Belongs to the selector thread. The
 * package does not depend on HTTP.
 */
package dillcross.net.buffer;
