/**
 * Clients' connections: accepts them within a limit, validates requests and sends responses.
 * Belongs to the selector thread. The package chooses no endpoint and does not depend on attempts.
 */
package dillcross.net.client;
