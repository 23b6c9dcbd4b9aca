"""Protocol front ends of the scheduler: the platform's HTTP and STOMP, each for clients and route nodes."""
