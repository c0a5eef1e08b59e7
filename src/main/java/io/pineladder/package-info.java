/**
 * A controller ({@link io.pineladder.ControllerNode}) and its leadership terms ({@link
 * io.pineladder.LeaderTerm}). Creates the components of the lower packages and connects them. All
 * code runs on the event loop's thread.
 */
package io.pineladder;
