# Worth served while a site is lost, by kind of loss, with each part of site loss switched off in turn, from
# the table that `make site-table` prints:
#   make site-table > table.txt && gnuplot -e "table='table.txt'" tools/site_chart.gp > docs/site-loss.svg
set terminal svg noenhanced size 900,380 font "sans,12" background "white"
set style data histograms
set style histogram clustered gap 2
set style fill solid 0.8 noborder
set key outside right
set grid ytics
set yrange [0.6:1]
set ylabel "worth served in it"
parts = "none all -hold_out -confirm -rescue -budget -pace"
plot for [p in parts] sprintf("< awk '$2 == \"%s\"' %s", p, table) using 3:xtic(1) title p
