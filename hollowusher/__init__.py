"""hollowusher: the job scheduler of Roata Verde, one program round the decisions in `hazelweir`."""
