/**
 * Clients' connections: accepts them within a limit, validates requests and sends responses.
 * Belongs to the selector thread. It chooses no endpoint and knows nothing of attempts.
 */
package dillcross.net.client;
