/** Leader election, based on a lease in the key-value store. */
package io.pineladder.leadership;
