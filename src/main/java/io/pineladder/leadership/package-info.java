/** The election of the leader, and its lease in the state service. */
package io.pineladder.leadership;
