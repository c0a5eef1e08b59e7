/**
 * One controller ({@link io.pineladder.ControllerNode}) and its terms of leadership ({@link
 * io.pineladder.LeaderTerm}): the lower packages' parts are created and connected here. Everything
 * happens on the event loop's thread.
 */
package io.pineladder;
