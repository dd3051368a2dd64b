# Where review/build-3.sh puts the programs of the cases; read by their run.sh.
BED_3=${BED_3:-target/review-3}
