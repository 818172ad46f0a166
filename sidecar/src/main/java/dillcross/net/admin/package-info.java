/**
 * The admin endpoint for operators, and the lifecycle that it reports and controls. Belongs to the
 * selector thread. The package does not depend on requests and endpoints.
 */
package dillcross.net.admin;
