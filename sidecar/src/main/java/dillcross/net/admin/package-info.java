/**
 * The admin endpoint for operators, and the lifecycle that it reports and controls. Belongs to the
 * selector thread. It knows nothing of requests and endpoints.
 */
package dillcross.net.admin;
