"""Consensus on the view: single-decree Paxos for each epoch, the voter set and its changes."""
